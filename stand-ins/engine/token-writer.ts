/** Takes the tokens of one answer as they come. */
export type TokenWriter = (word: string, last: boolean) => void
