"""Reconstruct from process logs how jobs ended and why."""
