import type { Place } from './place.js'

/** One thing that is wrong in a file, with its place. Findings are collected and reported together. */
export interface Finding extends Place {
  readonly message: string
}
