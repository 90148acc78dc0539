import type { Configuration } from './configuration.js'

/** The configuration before any version is known, with the default of every limit. */
export const emptyConfiguration: Configuration = {
  version: 0,
  services: {},
  models: {},
  callers: {},
  limits: {
    bodyBytes: 1_000_000,
    fileBytes: 200_000_000,
    queueWait: 500,
    deadline: 60_000,
    addressKeep: 5_000
  }
}
