import type { PackedFile } from './packed-file.js'

/** Neighbouring files of the folder in one create-only object, named by the hash of its content. */
export interface Pack {
  readonly hash: string
  readonly files: readonly PackedFile[]
}
