import type { PartDefinition } from './part-definition.js'

/**
 * The registered parts. Each part's module registers its definition when it is imported, so that the kernel and the
 * command line depend on none of them.
 */
class PartRegistry {
  private readonly definitions = new Map<string, PartDefinition>()

  register (definition: PartDefinition): void {
    if (this.definitions.has(definition.name)) throw new Error(`part "${definition.name}" is registered twice`)
    this.definitions.set(definition.name, definition)
  }

  /** Returns all definitions, each after those that it needs. Throws on unknown and circular needs. */
  order (): readonly PartDefinition[] {
    const ordered: PartDefinition[] = []
    const visit = (name: string, path: readonly string[]): void => {
      const definition = this.definitions.get(name)
      if (definition === undefined) throw new Error(`part "${path.at(-1)}" needs the unknown part "${name}"`)
      if (path.includes(name)) throw new Error(`circular needs of parts: ${[...path, name].join(' > ')}`)
      if (ordered.includes(definition)) return
      for (const need of definition.needs ?? []) visit(need, [...path, name])
      ordered.push(definition)
    }
    for (const name of this.definitions.keys()) visit(name, [])
    return ordered
  }
}

export const partRegistry = new PartRegistry()
