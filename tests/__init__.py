"""Tests of auburnsail."""
