# Helpers that declare the libraries, programs and tests of this project.

# Two precompiled headers, one for the library and programs, one for the tests. A compiler reads
# them several times faster than the headers that nearly every file includes.
if(AMARANTHLATCH_PRECOMPILED_HEADERS)
  set(common_headers <algorithm> <array> <chrono> <functional> <map> <memory> <optional> <set>
                     <string> <unordered_map> <variant> <vector> <nlohmann/json.hpp>
                     <tl/expected.hpp>)
  file(WRITE ${CMAKE_BINARY_DIR}/empty.cc "")
  add_library(amaranthlatch_headers OBJECT ${CMAKE_BINARY_DIR}/empty.cc)
  target_link_libraries(amaranthlatch_headers PRIVATE nlohmann_json::nlohmann_json Threads::Threads)
  target_precompile_headers(amaranthlatch_headers PRIVATE ${common_headers})
  add_library(amaranthlatch_test_headers OBJECT ${CMAKE_BINARY_DIR}/empty.cc)
  target_link_libraries(amaranthlatch_test_headers PRIVATE nlohmann_json::nlohmann_json rapidcheck
                                                           Threads::Threads)
  target_compile_definitions(amaranthlatch_test_headers
                             PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  target_precompile_headers(amaranthlatch_test_headers PRIVATE ${common_headers}
                            <CppUTest/TestHarness.h> <rapidcheck.h>)
endif()

# amaranthlatch_precompiled(<target> <owner of the precompiled header>)
function(amaranthlatch_precompiled target owner)
  if(AMARANTHLATCH_PRECOMPILED_HEADERS)
    target_precompile_headers(${target} REUSE_FROM ${owner})
  endif()
endfunction()

# amaranthlatch_library(<name> DEPENDS <targets...>)
# Builds libs/<name>/src/*.cc and src/*/*.cc into the target amaranthlatch_<name>, and
# libs/<name>/tests/*_test.cc into one CppUTest program that CTest runs.
function(amaranthlatch_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS;TEST_ARGUMENTS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc src/*/*.cc)
  add_library(amaranthlatch_${name} STATIC ${sources})
  target_include_directories(amaranthlatch_${name} PUBLIC include PRIVATE src)
  target_link_libraries(amaranthlatch_${name} PUBLIC ${ARG_DEPENDS})
  amaranthlatch_precompiled(amaranthlatch_${name} amaranthlatch_headers)
  file(GLOB test_sources CONFIGURE_DEPENDS tests/*.cc)
  if(test_sources AND AMARANTHLATCH_TESTS)
    amaranthlatch_test(${name}_test SOURCES ${test_sources} DEPENDS amaranthlatch_${name}
                       ${ARG_TEST_DEPENDS} ARGUMENTS ${ARG_TEST_ARGUMENTS})
    target_include_directories(${name}_test PRIVATE src tests ${CMAKE_SOURCE_DIR}/cmake)
  endif()
endfunction()

# amaranthlatch_test(<target> SOURCES <files...> DEPENDS <targets...> [ARGUMENTS <words...>])
function(amaranthlatch_test target)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  add_executable(${target} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/cmake/test_main.cc)
  target_link_libraries(${target} PRIVATE ${ARG_DEPENDS} CppUTest Threads::Threads)
  # The detector redefines operator new, which standard headers do not survive.
  if(NOT target STREQUAL "process_test")
    add_dependencies(unit_tests ${target})
  endif()
  amaranthlatch_precompiled(${target} amaranthlatch_test_headers)
  target_compile_definitions(${target} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  # Tests open pages and examples of the repository by relative paths.
  add_test(NAME ${target} COMMAND ${target} ${ARG_ARGUMENTS} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${target} PROPERTIES TIMEOUT 300)
endfunction()
