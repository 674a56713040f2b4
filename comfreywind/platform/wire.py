"""Names that the platform defines: headers, tables, keys and the variable of the settings file."""

HEADER_DEADLINE = b'comfreywind-deadline-ms'
HEADER_INSTANCE = b'comfreywind-expected-instance'
HEADER_HOLDER = b'comfreywind-lease-holder'
HEADER_FENCE = b'comfreywind-fencing-token'

SETTINGS_VARIABLE = 'COMFREYWIND_CONFIG'

TABLE_OPERATOR = 'op'
TABLE_SERVERS = 'servers'
TABLE_STATUS = 'status'
KEY_CONFIG = 'config'
PREFIX_WAVE = 'wave/'
PREFIX_EVACUATION = 'evacuate/'
