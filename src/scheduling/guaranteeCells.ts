/**
 * The cells that are guaranteed to organisations. A cell is a number of adjacent accelerators, a power of two. It is bound
 * to a block while jobs of its organisation run in it. All unbound cells together must fit into the blocks that contain
 * no bound cell and no unusable worker.
 *
 * Blocks are aligned and their sizes are powers of two. The cells therefore fit if and only if, for each level, there are
 * at least as many free blocks as the unbound cells of that level and above need, counted in blocks of that level.
 */
import { assert } from '../common/assertions.js'
import type { Guarantee } from '../rules/ruleSet.js'
import { getLevelOf, maxLevel } from './blockIndex.js'
import type { BlockIndex } from './blockIndex.js'

/** One guaranteed cell. */
export interface GuaranteeCell {
  readonly guaranteeId: string
  readonly organisation: string
  readonly level: number
  /** The block that the cell is bound to; undefined while no job runs in it. */
  block: number | undefined
  readonly jobIds: Set<string>
  /** The cell cannot be provided at present, because the usable workers are too few. */
  isMissing: boolean
}

/** The cells of a guarantee that cannot be provided at present. */
export interface GuaranteeShortage {
  readonly guaranteeId: string
  readonly organisation: string
  readonly acceleratorsPerCell: number
  readonly missingCells: number
}

/** The guaranteed cells of one failure domain. */
export interface GuaranteeCells {
  /** Replaces the guarantees. Returns the jobs that lost their guarantee and are now preemptible. */
  setGuarantees (guarantees: readonly Guarantee[]): readonly string[]
  getCellsOf (organisation: string): readonly GuaranteeCell[]
  /** Returns whether the other cells still fit if this unbound cell is bound inside a maximal free block of level `maximalLevel`. */
  isBindable (cell: GuaranteeCell, maximalLevel: number): boolean
  bind (cell: GuaranteeCell, block: number): void
  /** Unbinds a cell that has no jobs, such as one that was bound for a placement that then failed. */
  unbindIfEmpty (cell: GuaranteeCell): void
  addJob (cell: GuaranteeCell, jobId: string): void
  /** Removes a job from its cells, and unbinds those that have no jobs left. */
  removeJob (jobId: string): void
  isGuaranteed (jobId: string): boolean
  getCellOfJob (jobId: string): GuaranteeCell | undefined
  /** Determines again which cells are missing. Must be called after workers became usable or unusable. */
  refresh (): void
  getShortages (): readonly GuaranteeShortage[]
  assertReclaimable (): void
}

/** Creates the cells of a domain. In `bindableBlocks`, the leaves of bound cells and of unusable workers are blocked. */
export function createGuaranteeCells (bindableBlocks: BlockIndex): GuaranteeCells {
  let cells: GuaranteeCell[] = []
  let cellsByOrganisation = new Map<string, GuaranteeCell[]>()
  const cellsOfJob = new Map<string, Set<GuaranteeCell>>()
  /** Number of unbound cells of each level that are not missing. */
  const unboundByLevel = new Int32Array(maxLevel + 1)

  return {
    setGuarantees,
    getCellsOf: organisation => cellsByOrganisation.get(organisation) ?? [],
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
      const existing = cells.filter(cell => cell.guaranteeId === guarantee.id && cell.level === level)
      existing.sort((left, right) => Number(right.block !== undefined) - Number(left.block !== undefined))
      for (let index = 0; index < guarantee.cells; index++) {
        const cell = existing[index] ?? createCell(guarantee, level)
        kept.add(cell)
        next.push(cell)
      }
    }
    const dropped = cells.filter(cell => !kept.has(cell))
    const demoted = dropped.flatMap(cell => [...cell.jobIds])
    for (const jobId of demoted) detachJob(jobId)
    for (const cell of dropped) if (cell.block !== undefined) unbind(cell)
    cells = next
    cellsByOrganisation = groupByOrganisation(cells)
    refresh()
    return demoted
  }

  function isBindable (cell: GuaranteeCell, maximalLevel: number): boolean {
    let sum = 0
    for (let level = maxLevel; level >= 0; level--) {
      sum = sum * 2 + (unboundByLevel[level] as number) - (level === cell.level && !cell.isMissing ? 1 : 0)
      const taken = level > maximalLevel ? 0 : level >= cell.level ? 1 : 2 ** (cell.level - level)
      if (sum > bindableBlocks.getFreeCount(level) - taken) return false
    }
    return true
  }

  function bind (cell: GuaranteeCell, block: number): void {
    assert(cell.block === undefined, 'only an unbound cell can be bound')
    cell.block = block
    forEachLeaf(cell, leaf => bindableBlocks.block(leaf))
    if (!cell.isMissing) (unboundByLevel[cell.level] as number)--
    cell.isMissing = false
  }

  function unbindIfEmpty (cell: GuaranteeCell): void {
    if (cell.block === undefined || cell.jobIds.size > 0) return
    unbind(cell)
    refresh()
  }

  function unbind (cell: GuaranteeCell): void {
    forEachLeaf(cell, leaf => bindableBlocks.unblock(leaf))
    cell.block = undefined
    ;(unboundByLevel[cell.level] as number)++
  }

  function addJob (cell: GuaranteeCell, jobId: string): void {
    assert(cell.block !== undefined, 'a job can be added only to a bound cell')
    cell.jobIds.add(jobId)
    const jobCells = cellsOfJob.get(jobId) ?? new Set()
    jobCells.add(cell)
    cellsOfJob.set(jobId, jobCells)
  }

  function removeJob (jobId: string): void {
    const jobCells = detachJob(jobId)
    for (const cell of jobCells) unbindIfEmpty(cell)
  }

  function detachJob (jobId: string): Set<GuaranteeCell> {
    const jobCells = cellsOfJob.get(jobId) ?? new Set()
    cellsOfJob.delete(jobId)
    for (const cell of jobCells) cell.jobIds.delete(jobId)
    return jobCells
  }

  /** Cells are provided in the order of the rules. A cell that does not fit is marked as missing, and the later ones are still tried. */
  function refresh (): void {
    unboundByLevel.fill(0)
    for (const cell of cells) {
      cell.isMissing = false
      if (cell.block === undefined) (unboundByLevel[cell.level] as number)++
    }
    if (isFeasible()) return
    unboundByLevel.fill(0)
    for (const cell of cells) {
      if (cell.block !== undefined) continue
      (unboundByLevel[cell.level] as number)++
      if (isFeasible()) continue
      cell.isMissing = true
      ;(unboundByLevel[cell.level] as number)--
    }
  }

  function isFeasible (): boolean {
    let sum = 0
    for (let level = maxLevel; level >= 0; level--) {
      sum = sum * 2 + (unboundByLevel[level] as number)
      if (sum > bindableBlocks.getFreeCount(level)) return false
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
    assert(isFeasible(), 'all guaranteed cells that are not missing can be reclaimed at the same time')
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
