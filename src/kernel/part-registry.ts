import type { PartDefinition } from './part-definition.js'

/**
 * The parts this program knows. Each part's module adds its own definition when it is imported, so that the
 * kernel and the command line name none of them.
 */
class PartRegistry {
  private readonly definitions = new Map<string, PartDefinition>()

  register (definition: PartDefinition): void {
    if (this.definitions.has(definition.name)) throw new Error(`two parts are named ${definition.name}`)
    this.definitions.set(definition.name, definition)
  }

  /** All definitions, each after those it needs. Throws where a need is unknown or circular. */
  order (): readonly PartDefinition[] {
    const ordered: PartDefinition[] = []
    const visit = (name: string, path: readonly string[]): void => {
      const definition = this.definitions.get(name)
      if (definition === undefined) throw new Error(`${path.at(-1)} needs the unknown part ${name}`)
      if (path.includes(name)) throw new Error(`parts need one another: ${[...path, name].join(' > ')}`)
      if (ordered.includes(definition)) return
      for (const need of definition.needs ?? []) visit(need, [...path, name])
      ordered.push(definition)
    }
    for (const name of this.definitions.keys()) visit(name, [])
    return ordered
  }
}

export const partRegistry = new PartRegistry()
