#!/usr/bin/env python3
"""Runs clang-tidy over the C++ sources and keeps the result of each file by a hash.

usage: lint.py [--recheck N] BUILD_DIRECTORY [FILE...]

The hash covers what decides a result: the file, the headers of this repository that it includes,
its compiler options, .clang-tidy and the version of clang-tidy (not the processor of the machine). Files that passed are listed in
tools/lint_passed.txt and are not checked again until their hash changes. --recheck N checks about
one in N of the listed files nevertheless, drawn by the commit, so that a wrong line is found.
With files named, only those are checked.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
RECORD = ROOT / "tools" / "lint_passed.txt"
CLANG_TIDY = "clang-tidy-14"


def run(command, **options):
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, **options)


def sources():
    listed = run(["git", "ls-files", "--cached", "--others", "--exclude-standard", "--", "*.cc"],
                 check=True).stdout.split()
    return [name for name in listed if (ROOT / name).exists()]


def compile_options(build):
    """Maps each source file to its compiler arguments, without the compiler and the output."""
    options = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        arguments = shlex.split(entry["command"])
        start = next(i for i, word in enumerate(arguments) if word.startswith("-"))
        output = arguments.index("-o")
        kept = arguments[start:output]
        name = os.path.relpath(os.path.join(entry["directory"], entry["file"]), ROOT)
        options.setdefault(name, kept)
    return options


def headers_of(name, options):
    """The files of this repository that the compiler reads for a source file."""
    result = run(["g++", *options, "-MM", "-MT", "x", name])
    if result.returncode != 0:
        raise RuntimeError(f"{name}: {result.stderr}")
    files = result.stdout.removeprefix("x:").replace("\\\n", " ").split()
    inside = {os.path.relpath(os.path.join(ROOT, file), ROOT) for file in files}
    return sorted(file for file in inside if not file.startswith(".."))


def key_of(name, options, common):
    digest = hashlib.sha256(common)
    digest.update(" ".join(options).replace(str(ROOT), "").encode())
    for file in headers_of(name, options):
        digest.update(f"\n{file}\n".encode())
        digest.update((ROOT / file).read_bytes())
    return digest.hexdigest()


def lint(name, build):
    """Returns the findings of one file, or an empty text if there are none."""
    result = run([CLANG_TIDY, "-p", str(build), "--quiet",
                  "--extra-arg=-Wno-unknown-warning-option", name])
    if result.returncode == 0:
        return ""
    noise = re.compile(r"warnings? (generated|treated)|^Suppressed|^Use -")
    errors = [line for line in result.stderr.splitlines() if not noise.search(line)]
    return "\n".join([result.stdout, *errors]).strip() or f"{name}: clang-tidy failed"


def read_record():
    if not RECORD.exists():
        return {}
    lines = (line.split(maxsplit=1) for line in RECORD.read_text().splitlines())
    return {name: key for key, name in lines}


def main():
    arguments = sys.argv[1:]
    recheck = 0
    if arguments[:1] == ["--recheck"]:
        recheck = int(arguments[1])
        arguments = arguments[2:]
    build = (ROOT / arguments[0]).resolve()
    named = arguments[1:]
    options = compile_options(build)
    everything = sources()
    unknown = [name for name in everything if name not in options]
    if unknown:
        sys.exit("not built, so not checked: " + " ".join(unknown))
    names = named or everything
    # The other lines name the processor, which does not change a result.
    version = "".join(line for line in run([CLANG_TIDY, "--version"], check=True).stdout.splitlines()
                      if "version" in line)
    common = version.encode() + (ROOT / ".clang-tidy").read_bytes()
    commit = run(["git", "rev-parse", "HEAD"]).stdout.strip()
    passed = read_record()

    def drawn(name):
        draw = int(hashlib.sha256((commit + name).encode()).hexdigest(), 16)
        return recheck > 0 and draw % recheck == 0

    failures = 0
    checked = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        keys = dict(zip(names, pool.map(lambda n: key_of(n, options[n], common), names)))
        due = [n for n in names if named or passed.get(n) != keys[n] or drawn(n)]
        for name, findings in zip(due, pool.map(lambda n: lint(n, build), due)):
            checked += 1
            if findings:
                failures += 1
                passed.pop(name, None)
                print(findings, flush=True)
            else:
                passed[name] = keys[name]
    kept = sorted(name for name in passed if name in everything)
    RECORD.write_text("".join(f"{passed[name]} {name}\n" for name in kept))
    print(f"lint: {checked} of {len(names)} files checked, {failures} with findings")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
