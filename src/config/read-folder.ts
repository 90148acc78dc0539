import type { Result } from 'ts-results'
import { checkFiles } from './check-files.js'
import type { Configuration } from './configuration.js'
import type { Finding } from './finding.js'
import { readYamlFiles } from './read-yaml-files.js'

/** Reads an operators' folder: every .yaml file, merged key by key in the order of their names, and checked. */
export function readFolder (folder: string): Result<Omit<Configuration, 'version'>, readonly Finding[]> {
  return readYamlFiles(folder).andThen(files => checkFiles(files)).map(({ configuration }) => configuration)
}
