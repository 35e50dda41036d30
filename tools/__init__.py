"""Development programs: demonstration, benchmarks, randomised runs and experiments."""
