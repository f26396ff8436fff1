/** Tests of the rule syntax, merging, and the guarantee that an accepted edit is neither lost nor reverted. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/store.js'
import type { KeyValueStore } from '../store/store.js'
import { createFaultyStore } from '../testing/faultyStore.js'
import { diffRules, mergeRules } from './ruleEdit.js'
import { createRuleEditor } from './ruleEditor.js'
import type { RuleEditor } from './ruleEditor.js'
import { createRuleLog, segmentSize } from './ruleLog.js'
import { createRuleReplica } from './ruleReplica.js'
import type { RuleReplica } from './ruleReplica.js'
import { formatRules, parseRules } from './ruleSyntax.js'
import type { Rule } from './ruleSyntax.js'

const nameArbitrary = fc.stringMatching(/^[a-z][a-z0-9_-]{0,10}$/)
const commentArbitrary = fc.stringMatching(/^[A-Za-z][A-Za-z0-9 ,.]{0,20}[a-z]$/)
const lineArbitrary = fc.oneof(
  fc.tuple(nameArbitrary, commentArbitrary).map(([name, comment]) => `organisation ${name} # ${comment}`),
  fc.tuple(nameArbitrary, fc.nat({ max: 999 }), commentArbitrary).map(([name, count, comment]) => `quota ${name} accelerators=${count} # ${comment}`),
  fc.tuple(nameArbitrary, fc.nat({ max: 99 }), commentArbitrary).map(([name, rank, comment]) => `priority ${name} rank=${rank} # ${comment}`),
  fc.tuple(nameArbitrary, commentArbitrary).map(([name, comment]) => `drain worker/${name} # ${comment}`)
)
const rulesArbitrary = fc.array(lineArbitrary, { maxLength: 8 }).map(lines => parseRules(lines.join('\n')).rules)

test('parsing a formatted file returns the same rules', () => {
  fc.assert(fc.property(rulesArbitrary, fc.nat(), (rules, revision) => {
    const parsed = parseRules(formatRules(rules.values(), revision))
    expect(parsed.diagnostics).toEqual([])
    expect(parsed.baseRevision).toBe(revision)
    expect(diffRules(rules, parsed.rules)).toEqual([])
  }))
})

// Guards against a limit without effect that is accepted because objects inherit a property of its name.
test.each(['toString', 'constructor', '__proto__', 'hasOwnProperty'])('a limit called %s is unknown', name => {
  const { rules, diagnostics } = parseRules(`limit ${name} value=1 # test`)
  expect(rules.size).toBe(0)
  expect(diagnostics).toHaveLength(1)
})

// Guards against hosts that show the same revision in different orders, as their locales differ.
test('rules are sorted by the code units of their names', () => {
  const names = ['b', 'B', 'a-b', 'ab', 'ä', 'z', '10', '9']
  const { rules } = parseRules(names.map(name => `organisation ${name} # test`).join('\n'))
  const formatted = parseRules(formatRules(rules.values(), 1)).rules
  expect([...formatted.values()].map(({ name }) => name)).toEqual([...names].sort())
})

// Guards against an edit that is merged with another revision than the one that was shown, because a comment in the file reads like its header.
test.each([
  ['# revision 7\norganisation a # test\n# revision 3\n', 7],
  ['organisation a # test\n# revision 3\n', undefined],
  ['# revision 7\n# revision 3\norganisation a # test\n', 7],
  ['\n# my edit\n# revision 7\norganisation a # test\n', 7]
])('the first header before the rules is the base: %j', (text, baseRevision) => {
  expect(parseRules(text).baseRevision).toBe(baseRevision)
})

test('parsing never throws; every diagnostic has a line and a column', () => {
  fc.assert(fc.property(fc.string({ unit: 'binary', maxLength: 200 }), text => {
    for (const diagnostic of parseRules(text).diagnostics) {
      expect(diagnostic.line).toBeGreaterThan(0)
      expect(diagnostic.column).toBeGreaterThan(0)
    }
  }))
})

test('a merge changes only the rules of the edit, and either applies each change or reports a conflict', () => {
  fc.assert(fc.property(rulesArbitrary, rulesArbitrary, rulesArbitrary, (base, theirs, head) => {
    const { merged, conflicts } = mergeRules(base, theirs, head)
    const wanted = new Set(diffRules(base, theirs).map(change => change.identity))
    const conflicting = new Set(conflicts.map(conflict => conflict.identity))
    for (const change of diffRules(head, merged)) expect(wanted.has(change.identity)).toBe(true)
    for (const identity of wanted) {
      const isApplied = diffRules(selectRule(theirs, identity), selectRule(merged, identity)).length === 0
      expect(isApplied || conflicting.has(identity)).toBe(true)
    }
  }))
})

function selectRule (rules: ReadonlyMap<string, Rule>, identity: string): Map<string, Rule> {
  const rule = rules.get(identity)
  return rule === undefined ? new Map() : new Map([[identity, rule]])
}

interface TestHost {
  readonly replica: RuleReplica
  readonly editor: RuleEditor
}

function createHost (store: KeyValueStore): TestHost {
  const replica = createRuleReplica()
  const log = createRuleLog(store)
  return { replica, editor: createRuleEditor({ log, replica, checkGuarantees: () => [] }) }
}

test.each([1, 2, 3, 4, 5, 6, 7, 8])('ten concurrent editors on an unreliable store: no accepted edit is lost or applied twice (seed %i)', async seed => {
  const store = createMemoryStore()
  const hosts = Array.from({ length: 10 }, (_, index) => createHost(createFaultyStore(store, seed * 100 + index)))
  const accepted: string[] = []
  await Promise.all(hosts.map(async ({ editor, replica }, index) => {
    for (let round = 0; round < 5; round++) {
      const ownRule = `organisation org${index}-${round} # asked by ${index}`
      const sharedRule = `priority shared rank=${index} # asked by ${index}`
      const text = `${replica.getSnapshot().text}${ownRule}\n${round === 0 ? sharedRule : ''}`
      const editId = `${index}-${round}`
      for (let attempt = 0; attempt < 30; attempt++) {
        try {
          await editor.apply({ text: round === 0 && attempt > 15 ? text.replace(sharedRule, '') : text, author: `a${index}`, askedBy: 'x', editId })
          accepted.push(`organisation org${index}-${round}`)
          break
        } catch (error) {
          expect((error as { kind: ErrorKind }).kind).not.toBe(ErrorKind.Internal)
        }
      }
    }
  }))
  const reader = createHost(store)
  reader.replica.adopt(await createRuleLog(store).readSince(0))
  expect(accepted.length).toBe(50)
  for (const identity of accepted) expect(reader.replica.getRuleSet().rules.has(identity)).toBe(true)
  const editIds = reader.replica.getRecentEntries().map(entry => entry.editId)
  expect(new Set(editIds).size).toBe(editIds.length)
})

test('a conflict error names both authors, and applying an outdated file does not revert later edits', async () => {
  const { editor, replica } = createHost(createMemoryStore())
  const edit = (text: string, author: string, baseRevision?: number): Promise<unknown> => editor.apply({ text, author, askedBy: 'x', baseRevision })
  await edit('priority high rank=1 # a\norganisation mill # b\n', 'malee', 0)
  const outdatedText = replica.getSnapshot().text
  await edit(outdatedText.replace('rank=1', 'rank=2'), 'niran')
  await edit(outdatedText.replace('organisation mill # b\n', ''), 'somchai')
  expect(replica.getRuleSet().priorityRanks.get('high')).toBe(2)
  await edit(outdatedText, 'malee')
  expect(replica.getRuleSet().priorityRanks.get('high')).toBe(2)
  expect(replica.getRuleSet().organisations.size).toBe(0)
  await expect(edit(outdatedText.replace('rank=1', 'rank=3'), 'malee')).rejects.toThrow(/changed by niran since revision 1, and differently by malee/)
  await expect(edit('organisation x # y', 'malee')).rejects.toThrow(/first line should be "# revision N"/)
})

test('compaction keeps the audit trail, and a host without any entries can still read the current rules', async () => {
  const store = createMemoryStore()
  const { editor, replica } = createHost(store)
  const behindHost = createHost(store)
  const log = createRuleLog(store)
  for (let index = 0; index < segmentSize * 2 + 10; index++) {
    await editor.apply({ text: `${replica.getSnapshot().text}organisation org${index} # asked ${index}\n`, author: 'malee', askedBy: `a${index}` })
  }
  await Promise.all([log.compact(replica.getSnapshot()), log.compact(replica.getSnapshot())])
  await log.compact(replica.getSnapshot())
  const history = await log.readHistory()
  expect(history.map(entry => entry.revision)).toEqual(Array.from({ length: segmentSize * 2 + 10 }, (_, index) => index + 1))
  expect(history[3]).toMatchObject({ author: 'malee', askedBy: 'a3', changes: [{ identity: 'organisation org3', after: 'organisation org3 # asked 3' }] })
  expect((await store.range('rules/log/')).length).toBe(segmentSize + 10)
  behindHost.replica.adopt(await log.readSince(0))
  expect(behindHost.replica.getRuleSet().rules.size).toBe(replica.getRuleSet().rules.size)
})

test('a replica adopts only consecutive higher revisions, from any host', async () => {
  const { editor, replica } = createHost(createMemoryStore())
  const olderReplica = createRuleReplica()
  await editor.apply({ text: 'organisation a # x', author: 'm', askedBy: 'x', baseRevision: 0 })
  olderReplica.adopt(replica.getUpdateSince(0))
  const oldSnapshot = olderReplica.getSnapshot()
  await editor.apply({ text: `${replica.getSnapshot().text}organisation b # x`, author: 'm', askedBy: 'x' })
  replica.adopt({ entries: [], snapshot: oldSnapshot })
  replica.adopt(olderReplica.getUpdateSince(0))
  expect(replica.getRuleSet().revision).toBe(2)
  expect(olderReplica.adopt({ entries: replica.getRecentEntries().slice(1) })).toBe(true)
  expect(olderReplica.getRuleSet().rules.has('organisation b')).toBe(true)
  const emptyReplica = createRuleReplica()
  expect(emptyReplica.adopt({ entries: replica.getRecentEntries().slice(1) })).toBe(false)
  expect(emptyReplica.getRuleSet().revision).toBe(0)
})

test('invalid lines are reported with the code, line and column of the error', () => {
  const check = (line: string): string | undefined => {
    const [diagnostic] = parseRules(`\n${line}`).diagnostics
    return diagnostic && `${diagnostic.code} ${diagnostic.line}:${diagnostic.column}`
  }
  expect(check('organization mill # x')).toBe('1001 2:1')
  expect(check('organisation mill')).toBe('1002 2:18')
  expect(check('quota mill # x')).toBe('1003 2:7')
  expect(check('quota mill accelerators=1 size=2 # x')).toBe('1004 2:27')
  expect(check('quota mill accelerators=many # x')).toBe('1005 2:25')
  expect(check('guarantee mill/a domain=d accelerators=3 cells=1 # x')).toBe('1005 2:40')
  expect(check('drain rack/r1 # x')).toBe('1005 2:7')
  expect(check('priority # x')).toBe('1009 2:1')
  expect(check(`priority a rank=1 # ${'x'.repeat(600)}`)).toBe('1008 2:500')
  expect(check('organisation a<b # x')).toBe('1012 2:14')
})
