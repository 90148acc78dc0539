/** Permission for a suspect to run at a server where no other suspect runs. */
export interface Trial {
  readonly server: string
  /** Ends the trial; may be called more than once. */
  end (): void
}
