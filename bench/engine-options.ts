/**
 * Parameters of the bench's stand-in engines: a step takes 18 ms and 0.4 ms more for each further sequence, so that 32
 * sequences run at 30 ms a token, within the target of 46 ms between tokens.
 */
export const engineOptions = {
  stepBase: 18,
  stepPerSequence: 0.4,
  prefillPerToken: 0.05,
  maxRunning: 64,
  memoryTokens: 40_000,
  loadLag: 500
} as const
