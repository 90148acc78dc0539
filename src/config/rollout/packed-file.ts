/** A file of the operators' folder in a pack: its name and its text. */
export type PackedFile = readonly [name: string, text: string]
