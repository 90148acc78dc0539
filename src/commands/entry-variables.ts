/** Environment variables that can replace an option, by option. */
export const entryVariables: Readonly<Record<string, string>> = {
  '--entry': 'CITRONWHEEL_ENTRY',
  '--token': 'CITRONWHEEL_TOKEN'
}
