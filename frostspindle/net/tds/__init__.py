"""TDS 7.4 as MS-TDS describes it: codec, the front for clients, the driver for engines."""
