import type { KeySchema } from './key-schema.js'

/** A schema for each key of `T`, so that a key added to the type doesn't compile until it is described. */
export type KeySchemas<T> = { readonly [K in keyof Required<T>]: KeySchema }
