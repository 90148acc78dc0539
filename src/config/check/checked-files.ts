import type { Configuration } from '../configuration.js'
import type { Entry } from '../entry.js'

/** A valid folder: its configuration, and the merged entries with their locations. */
export interface CheckedFiles { readonly configuration: Omit<Configuration, 'version'>, readonly root: Entry }
