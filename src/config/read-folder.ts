import type { Result } from 'ts-results'
import { checkFiles } from './check/check-files.js'
import type { Configuration } from './configuration.js'
import type { Finding } from './check/finding.js'
import { readYamlFiles } from './read-yaml-files.js'

/** Reads, merges and checks an operators' folder: all .yaml files, merged key by key in the order of their names. */
export function readFolder (folder: string): Result<Omit<Configuration, 'version'>, readonly Finding[]> {
  return readYamlFiles(folder).andThen(files => checkFiles(files)).map(({ configuration }) => configuration)
}
