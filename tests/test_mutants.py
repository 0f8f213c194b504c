"""The mutants of `script/broken-first` match the product's source and existing tests."""

from experiments.broken import ROOT
from experiments.mutants import MUTANTS

from .base import TestCase


class MutantTest(TestCase):
    def test_every_edit_applies(self) -> None:
        for mutant in MUTANTS:
            for edit in mutant.edits:
                text = (ROOT / edit.path).read_text()
                self.assertTrue(edit.old in text, f"{mutant.name}: {edit.path}")
                self.assertNotEqual(edit.old, edit.new)

    def test_every_named_test_exists(self) -> None:
        for mutant in MUTANTS:
            path, _, name = mutant.test.split("::")
            self.assertIn(f"def {name}(", (ROOT / path).read_text(), mutant.name)
