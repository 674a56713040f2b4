"""Names of the tables and rows in the platform's table service."""

TABLE_BUNDLES = 'bundles'
TABLE_CURRENT = 'current'
TABLE_KEYS = 'keys'
TABLE_MEMBERS = 'members'
TABLE_MEMBERSHIP = 'membership'
TABLE_PORTIONS = 'portions'
TABLE_CLAIMS = 'claims'
TABLE_VMS = 'vms'
TABLE_CONTROL = 'control'
TABLE_BUDGETS = 'budgets'
TABLE_SUMMARIES = 'summaries'
TABLE_DECISIONS = 'decisions'

ROW_BUNDLE = 'bundle'
ROW_VIEW = 'view'
