"""Tests of evacuated zones."""
