import type { Definition } from 'clipanion'

/** What the command line knows of one command: its path, options and how it is used. */
export type CommandDefinition = Readonly<Definition>
