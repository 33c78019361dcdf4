"""HTTP/1.1 connections to callers and targets, passed on byte for byte."""
