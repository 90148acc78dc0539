import type { Definition } from 'clipanion'

/** Definition of a command: its path, options and usage. */
export type CommandDefinition = Readonly<Definition>
