/** Explicit-state exploration: visits every state that a model can reach within a number of steps, breadth first, so that the first trace to each finding is a shortest one. */

/** Picks one of several outcomes of the environment. The first one is the usual course of events and is not part of a trace. */
export type Choose = <T>(options: ReadonlyArray<readonly [label: string, value: T]>) => T

/** Something that a step shows. */
export interface Finding {
  /** Findings of one class share a cause; the shortest trace of each class is kept. */
  readonly class: string
  /** How severe it is within its class, in steps. */
  readonly steps: number
}

/** A model with discrete time. */
export interface Model<State> {
  readonly initial: State
  clone (state: State): State
  /** Equal for states from which the same can follow. */
  getKey (state: State): string
  /** Advances the state by one step. Returns false if nothing of interest can follow. */
  advance (state: State, choose: Choose, report: (finding: Finding) => void): boolean
}

/** The shortest trace to a class of findings. */
export interface TracedFinding extends Finding {
  /** What differs from the usual course of events, step by step; steps without a difference are left out. */
  readonly trace: readonly string[]
  /** The most steps of any finding of the class. */
  readonly maxSteps: number
}

/** The result of an exploration. */
export interface Exploration {
  readonly states: number
  readonly transitions: number
  /** The steps after which no new state was found, or the bound. */
  readonly depth: number
  /** Whether all reachable states were visited. */
  readonly isComplete: boolean
  readonly findings: ReadonlyMap<string, TracedFinding>
}

/** The bounds of an exploration. */
export interface ExplorationBounds {
  readonly maxDepth: number
  /** Limits the memory in use: about 0.2 KB for each state. */
  readonly maxStates: number
}

interface Node {
  readonly parent: Node | undefined
  readonly depth: number
  readonly labels: string
}

/** Explores the model exhaustively within the bounds. */
export function explore<State> (model: Model<State>, { maxDepth, maxStates }: ExplorationBounds): Exploration {
  const seen = new Set([model.getKey(model.initial)])
  const findings = new Map<string, TracedFinding>()
  let frontier: Array<readonly [State, Node]> = [[model.initial, { parent: undefined, depth: 0, labels: '' }]]
  let transitions = 0
  let depth = 0
  while (frontier.length > 0 && depth < maxDepth && seen.size < maxStates) {
    depth++
    const next: typeof frontier = []
    for (const [state, node] of frontier) expand(state, node, next)
    frontier = next
  }
  return { states: seen.size, transitions, depth, isComplete: frontier.length === 0, findings }

  /** Runs one step once for each sequence of choices: each run follows a prefix that is known to be possible, and picks the first option after it. */
  function expand (state: State, parent: Node, next: typeof frontier): void {
    const picks: number[] = []
    do {
      const counts: number[] = []
      const labels: string[] = []
      const found: Finding[] = []
      const successor = model.clone(state)
      const canGoOn = model.advance(successor, options => {
        const position = counts.length
        counts.push(options.length)
        if (position === picks.length) picks.push(0)
        const [label, value] = options[picks[position] as number] as (typeof options)[number]
        if (picks[position] !== 0) labels.push(label)
        return value
      }, finding => { found.push(finding) })
      transitions++
      const node: Node = { parent, depth, labels: labels.join(', ') }
      for (const finding of found) record(finding, node)
      if (canGoOn) {
        const key = model.getKey(successor)
        if (!seen.has(key)) {
          seen.add(key)
          next.push([successor, node])
        }
      }
      while (picks.length > 0 && (picks.at(-1) as number) + 1 === counts[picks.length - 1]) picks.pop()
      if (picks.length > 0) picks.push((picks.pop() as number) + 1)
    } while (picks.length > 0)
  }

  function record (finding: Finding, node: Node): void {
    const known = findings.get(finding.class)
    if (known === undefined) findings.set(finding.class, { ...finding, trace: getTrace(node), maxSteps: finding.steps })
    else if (finding.steps > known.maxSteps) findings.set(finding.class, { ...known, maxSteps: finding.steps })
  }
}

function getTrace (last: Node): string[] {
  const trace: string[] = []
  for (let node: Node | undefined = last; node !== undefined; node = node.parent) if (node.labels !== '' || node === last) trace.unshift(`step ${node.depth}: ${node.labels === '' ? '-' : node.labels}`)
  return trace
}
