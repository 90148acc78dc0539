import type { Configuration } from './configuration.js'
import type { Entry } from './entry.js'

/** A folder that holds together: its configuration, and the entries it was merged from, with their places. */
export interface CheckedFiles { readonly configuration: Omit<Configuration, 'version'>, readonly root: Entry }
