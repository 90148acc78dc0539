import type { Configuration } from './configuration.js'
import { configurationSchema } from './configuration-schema.js'
import { readDefault } from './read-default.js'

/** The configuration before the first version is received, with default limits. */
export const emptyConfiguration: Configuration = {
  version: 0,
  ...readDefault(configurationSchema) as Omit<Configuration, 'version'>
}
