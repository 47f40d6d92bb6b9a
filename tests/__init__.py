"""Tests of beryldrum."""
