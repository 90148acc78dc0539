import type { EngineParameters } from './engine-parameters.js'

/** Parameters of a small engine, fast enough for tests. */
export const defaultParameters: EngineParameters = {
  stepBase: 2,
  stepPerSequence: 0.2,
  prefillPerToken: 0.02,
  importPerToken: 0.002,
  prefillChunk: 512,
  memoryTokens: 20_000,
  blockTokens: 16,
  maxRunning: 64,
  loadLag: 500,
  cacheEventLag: 500,
  cacheEventGaps: 0.05,
  checksFencing: true,
  models: [],
  role: 'mixed',
  weightBytes: 1_000_000_000,
  weightBytesPerSecond: 10_000_000_000,
  seed: 1
}
