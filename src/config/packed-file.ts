/** One file of the operators' folder as it is kept: its name and its text. */
export type PackedFile = readonly [name: string, text: string]
