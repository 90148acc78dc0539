import type { Configuration } from './configuration.js'
import { configurationSchema } from './configuration-schema.js'
import { readDefault } from './read-default.js'

/** The configuration before any version is known, with the default of every limit. */
export const emptyConfiguration: Configuration = {
  version: 0,
  ...readDefault(configurationSchema) as Omit<Configuration, 'version'>
}
