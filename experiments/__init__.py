"""Experiments and measurements on deployments of stand-ins."""
