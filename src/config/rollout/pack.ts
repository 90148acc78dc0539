import type { PackedFile } from './packed-file.js'

/** Files of the folder with adjacent names, stored in one object named by the hash of its content. */
export interface Pack {
  readonly hash: string
  readonly files: readonly PackedFile[]
}
