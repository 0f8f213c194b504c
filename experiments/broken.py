"""Mutation tests: remove one safeguard of the product at a time and check that a test fails.

Each mutant is a copy of the tree with a few lines replaced. The named test must fail on the mutant;
`script/test` checks that it passes on the unchanged product. Run with `script/broken-first`.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from .mutants import MUTANTS, Edit, Mutant

ROOT = Path(__file__).resolve().parent.parent
COPIED_PATHS = ("pistachiohill", "standins", "tests", "pyproject.toml")
MAX_PARALLEL_MUTANTS = 3
TEST_TIMEOUT_S = 240.0


def is_detected(mutant: Mutant) -> bool:
    """Return whether the test of a mutant fails."""
    with tempfile.TemporaryDirectory(prefix="broken-") as directory:
        root = Path(directory)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, root / name, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, root / name)
        for edit in mutant.edits:
            _apply_edit(root, edit)
        command = [sys.executable, "-m", "pytest", "-q", "-x", mutant.test]
        result = subprocess.run(
            command, cwd=root, capture_output=True, timeout=TEST_TIMEOUT_S, check=False, text=True
        )
        if result.returncode not in (0, 1):
            raise RuntimeError(f"{mutant.name}: {result.stdout[-2000:]}{result.stderr[-2000:]}")
        return result.returncode == 1


def _apply_edit(root: Path, edit: Edit) -> None:
    path = root / edit.path
    text = path.read_text()
    if edit.old not in text:
        raise RuntimeError(f"{edit.path} does not contain: {edit.old}")
    path.write_text(text.replace(edit.old, edit.new))


def main() -> int:
    """Run the mutants whose names contain the first argument (default: all); return exit code."""
    name_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    selected = [mutant for mutant in MUTANTS if name_filter in mutant.name]
    with ThreadPoolExecutor(MAX_PARALLEL_MUTANTS) as pool:
        results = list(pool.map(is_detected, selected))
    for mutant, detected in zip(selected, results, strict=True):
        print(
            f"{'detected' if detected else 'MISSED':8} {mutant.name}: "
            f"{mutant.test.rpartition('::')[2]}"
        )
    print(f"{sum(results)} of {len(selected)} mutants detected")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
