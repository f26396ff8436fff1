/**
 * The organisations' guaranteed cells. A cell is bound to a block while work of its organisation runs
 * in it; all unbound cells together must fit into blocks that hold no bound cell and no lost worker.
 *
 * Blocks are aligned powers of two, so the cells fit exactly if, for each level, the free blocks of that
 * level are at least the cells of that level and above, counted in blocks of that level.
 */
import { assert } from '../common/debug.js'
import type { Guarantee } from '../rules/ruleSet.js'
import { getLevelOf, maxLevel } from './blockIndex.js'
import type { BlockIndex } from './blockIndex.js'

/** One guaranteed cell. */
export interface GuaranteeCell {
  readonly guaranteeId: string
  readonly organisation: string
  readonly level: number
  /** The block that the cell is bound to; undefined while no work of its organisation runs in it. */
  block: number | undefined
  readonly jobIds: Set<string>
  /** The cell cannot be honoured, because too few workers are left. */
  isMissing: boolean
}

/** What an organisation cannot get back at present. */
export interface GuaranteeShortage {
  readonly guaranteeId: string
  readonly organisation: string
  readonly acceleratorsPerCell: number
  readonly missingCells: number
}

/** The guaranteed cells of one failure domain. */
export interface GuaranteeCells {
  /** Takes over new rules. Returns the jobs that lost their guarantee and are now preemptible. */
  setGuarantees (guarantees: readonly Guarantee[]): readonly string[]
  getCellsOf (organisation: string): readonly GuaranteeCell[]
  /** Tells whether the other cells still fit when this unbound cell takes a block inside a free block of `maximalLevel`. */
  isBindable (cell: GuaranteeCell, maximalLevel: number): boolean
  bind (cell: GuaranteeCell, block: number): void
  /** Unbinds a cell in which no work was placed after all. */
  unbindIfEmpty (cell: GuaranteeCell): void
  addJob (cell: GuaranteeCell, jobId: string): void
  /** Takes a job out of its cells; a cell without jobs is unbound. */
  removeJob (jobId: string): void
  isGuaranteed (jobId: string): boolean
  getCellOfJob (jobId: string): GuaranteeCell | undefined
  /** To be called after workers were lost or came back. */
  refresh (): void
  getShortages (): readonly GuaranteeShortage[]
  assertReclaimable (): void
}

/** Creates the cells of a domain over the index of blocks that are neither bound nor lost. */
export function createGuaranteeCells (reserve: BlockIndex): GuaranteeCells {
  let cells: GuaranteeCell[] = []
  let byOrganisation = new Map<string, GuaranteeCell[]>()
  const cellsOfJob = new Map<string, Set<GuaranteeCell>>()
  const needed = new Int32Array(maxLevel + 1)

  return {
    setGuarantees,
    getCellsOf: organisation => byOrganisation.get(organisation) ?? [],
    isBindable,
    bind,
    unbindIfEmpty,
    addJob,
    removeJob,
    isGuaranteed: jobId => cellsOfJob.has(jobId),
    getCellOfJob: jobId => cellsOfJob.get(jobId)?.values().next().value,
    refresh,
    getShortages,
    assertReclaimable
  }

  function setGuarantees (guarantees: readonly Guarantee[]): readonly string[] {
    const kept = new Set<GuaranteeCell>()
    const next: GuaranteeCell[] = []
    for (const guarantee of guarantees) {
      const level = getLevelOf(guarantee.acceleratorsPerCell)
      const own = cells.filter(cell => cell.guaranteeId === guarantee.id && cell.level === level)
      own.sort((left, right) => Number(right.block !== undefined) - Number(left.block !== undefined))
      for (let index = 0; index < guarantee.cells; index++) {
        const cell = own[index] ?? createCell(guarantee, level)
        kept.add(cell)
        next.push(cell)
      }
    }
    const dropped = cells.filter(cell => !kept.has(cell))
    const demoted = dropped.flatMap(cell => [...cell.jobIds])
    for (const jobId of demoted) forgetJob(jobId)
    for (const cell of dropped) if (cell.block !== undefined) unbind(cell)
    cells = next
    byOrganisation = groupByOrganisation(cells)
    refresh()
    return demoted
  }

  function isBindable (cell: GuaranteeCell, maximalLevel: number): boolean {
    let sum = 0
    for (let level = maxLevel; level >= 0; level--) {
      sum = sum * 2 + (needed[level] as number) - (level === cell.level && !cell.isMissing ? 1 : 0)
      const taken = level > maximalLevel ? 0 : level >= cell.level ? 1 : 2 ** (cell.level - level)
      if (sum > reserve.getFreeCount(level) - taken) return false
    }
    return true
  }

  function bind (cell: GuaranteeCell, block: number): void {
    assert(cell.block === undefined, 'a bound cell is not bound again')
    cell.block = block
    forEachLeaf(cell, leaf => reserve.block(leaf))
    if (!cell.isMissing) (needed[cell.level] as number)--
    cell.isMissing = false
  }

  function unbindIfEmpty (cell: GuaranteeCell): void {
    if (cell.block === undefined || cell.jobIds.size > 0) return
    unbind(cell)
    refresh()
  }

  function unbind (cell: GuaranteeCell): void {
    forEachLeaf(cell, leaf => reserve.unblock(leaf))
    cell.block = undefined
    ;(needed[cell.level] as number)++
  }

  function addJob (cell: GuaranteeCell, jobId: string): void {
    assert(cell.block !== undefined, 'work runs only in bound cells')
    cell.jobIds.add(jobId)
    const own = cellsOfJob.get(jobId) ?? new Set()
    own.add(cell)
    cellsOfJob.set(jobId, own)
  }

  function removeJob (jobId: string): void {
    const own = forgetJob(jobId)
    for (const cell of own) unbindIfEmpty(cell)
  }

  function forgetJob (jobId: string): Set<GuaranteeCell> {
    const own = cellsOfJob.get(jobId) ?? new Set()
    cellsOfJob.delete(jobId)
    for (const cell of own) cell.jobIds.delete(jobId)
    return own
  }

  /** Cells are honoured in the order of the rules: what no longer fits is missing, and takes nothing from the rest. */
  function refresh (): void {
    needed.fill(0)
    for (const cell of cells) {
      cell.isMissing = false
      if (cell.block === undefined) (needed[cell.level] as number)++
    }
    if (isFeasible()) return
    needed.fill(0)
    for (const cell of cells) {
      if (cell.block !== undefined) continue
      (needed[cell.level] as number)++
      if (isFeasible()) continue
      cell.isMissing = true
      ;(needed[cell.level] as number)--
    }
  }

  function isFeasible (): boolean {
    let sum = 0
    for (let level = maxLevel; level >= 0; level--) {
      sum = sum * 2 + (needed[level] as number)
      if (sum > reserve.getFreeCount(level)) return false
    }
    return true
  }

  function getShortages (): readonly GuaranteeShortage[] {
    const shortages = new Map<string, GuaranteeShortage>()
    for (const cell of cells) {
      if (!cell.isMissing) continue
      const missingCells = (shortages.get(cell.guaranteeId)?.missingCells ?? 0) + 1
      const { guaranteeId, organisation, level } = cell
      shortages.set(guaranteeId, { guaranteeId, organisation, acceleratorsPerCell: 1 << level, missingCells })
    }
    return [...shortages.values()]
  }

  function assertReclaimable (): void {
    assert(isFeasible(), 'all guaranteed cells can be reclaimed at once')
  }
}

/** Calls `visit` for every leaf of a bound cell. */
export function forEachLeaf (cell: Pick<GuaranteeCell, 'block' | 'level'>, visit: (leaf: number) => void): void {
  const start = (cell.block as number) << cell.level
  for (let leaf = start; leaf < start + (1 << cell.level); leaf++) visit(leaf)
}

function createCell (guarantee: Guarantee, level: number): GuaranteeCell {
  return {
    guaranteeId: guarantee.id,
    organisation: guarantee.organisation,
    level,
    block: undefined,
    jobIds: new Set(),
    isMissing: false
  }
}

function groupByOrganisation (cells: readonly GuaranteeCell[]): Map<string, GuaranteeCell[]> {
  const groups = new Map<string, GuaranteeCell[]>()
  for (const cell of cells) {
    const group = groups.get(cell.organisation)
    if (group === undefined) groups.set(cell.organisation, [cell])
    else group.push(cell)
  }
  return groups
}
