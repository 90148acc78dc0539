/** Options that may stand in the environment in place of the words, so that a shell needs them once. */
export const entryVariables: Readonly<Record<string, string>> = {
  '--entry': 'CITRONWHEEL_ENTRY',
  '--token': 'CITRONWHEEL_TOKEN'
}
