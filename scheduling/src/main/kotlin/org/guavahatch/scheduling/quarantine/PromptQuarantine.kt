package org.guavahatch.scheduling.quarantine

import kotlinx.collections.immutable.toImmutableSet
import org.guavahatch.model.time.Clock

/**
 * Finds prompt parts that end every endpoint that begins to answer a request with them, and holds back such requests.
 *
 * Without it, such a request is sent to one endpoint after the other, and each end breaks off the requests of others.
 * All gateways see a part of the ends; they exchange what they see and what was answered. Not thread-safe.
 *
 * @property clock source of monotonic time
 */
public class PromptQuarantine(private val clock: Clock) {
    private val evidence = CrashEvidence(clock)
    private val endsAt = LinkedHashMap<Quarantine, Long>()

    /** The latest quarantines that were released, of which peers are told. */
    private val released = ArrayDeque<Quarantine>()

    /** The quarantines in force. */
    public val active: Set<Quarantine> get() = endsAt.keys.toSet()

    /** Returns the quarantine that a request with [prompt] is in, or null. */
    public fun find(prompt: PromptParts): Quarantine? {
        if (endsAt.isEmpty() || prompt.shared.isEmpty()) return null
        val now = clock.monotonicMilliseconds()
        return endsAt.entries.firstOrNull { (quarantine, end) -> now < end && quarantine.matches(prompt) }?.key
    }

    /** Milliseconds until [quarantine] ends, 0 if it is not in force. */
    public fun remainingMilliseconds(quarantine: Quarantine): Long =
        maxOf(0, (endsAt[quarantine] ?: 0) - clock.monotonicMilliseconds())

    /** Records that a request with [prompt] was answered, so that none of its parts can be deadly. */
    public fun recordAnswered(prompt: PromptParts) {
        if (prompt.shared.isNotEmpty()) evidence.recordAnswered(prompt.shared)
    }

    /** Records that [process] ended while it had not begun to answer a request with [prompt]. */
    public fun recordCrash(process: EndpointProcess, prompt: PromptParts) {
        val name = "${process.id.value}/${process.incarnation ?: 0}"
        evidence.recordCrash(name, prompt, clock.monotonicMilliseconds(), isOwn = true)
    }

    /** What the peers need to know. */
    public fun report(): QuarantineReport = QuarantineReport(
        crashes = evidence.ownReports { find(it) != null },
        answerAges = evidence.answerAges((endsAt.keys + released).flatMap { it.parts }),
        remaining = endsAt.keys.take(MAXIMUM_REPORTED_QUARANTINES).associateWith(::remainingMilliseconds),
    )

    /** Adds what a peer has observed and held back. Returns the quarantines that are new to this gateway. */
    public fun merge(report: QuarantineReport): List<Quarantine> {
        val now = clock.monotonicMilliseconds()
        report.answerAges.forEach { (part, age) -> evidence.recordAnswered(listOf(part), now - age) }
        report.crashes.forEach { crash ->
            crash.requests.forEach {
                evidence.recordCrash(crash.process, it, now - crash.ageMilliseconds, isOwn = false)
            }
        }
        return report.remaining.filter { (quarantine, remaining) -> add(quarantine, remaining) }.keys.toList()
    }

    /**
     * Holds back the requests in [quarantine] for [milliseconds], at most the usual time; false if it is already in
     * force, or if one of its parts was answered within that time.
     */
    public fun add(quarantine: Quarantine, milliseconds: Long = DURATION_MILLISECONDS): Boolean {
        val duration = minOf(milliseconds, DURATION_MILLISECONDS)
        if (duration <= 0 || quarantine in endsAt || endsAt.size >= MAXIMUM_QUARANTINES) return false
        val now = clock.monotonicMilliseconds()
        if (quarantine.parts.any { evidence.isAnsweredAfter(it, now - DURATION_MILLISECONDS + duration) }) return false
        endsAt[quarantine] = now + duration
        return true
    }

    /**
     * Ends [quarantine] and drops the evidence against its parts, except those that another quarantine holds back.
     *
     * @return false if it was not in force
     */
    public fun release(quarantine: Quarantine): Boolean {
        if (endsAt.remove(quarantine) == null) return false
        evidence.recordAnswered(quarantine.parts - endsAt.keys.flatMap { it.parts }.toSet())
        released.addLast(quarantine)
        if (released.size > MAXIMUM_REPORTED_QUARANTINES) released.removeFirst()
        return true
    }

    /** Whether a later review may have a result although nothing else is recorded meanwhile. */
    public val needsReview: Boolean get() = endsAt.isNotEmpty() || evidence.isRecent

    /** Judges the evidence; the result tells what has changed. */
    public fun review(): QuarantineChanges {
        val now = clock.monotonicMilliseconds()
        val ended = endsAt.filter { (_, end) -> now >= end }.keys
        val refuted = endsAt.filter { (quarantine, end) ->
            quarantine.parts.any { evidence.isAnsweredAfter(it, end - DURATION_MILLISECONDS) }
        }.keys - ended
        val reduced = refuted.mapNotNull { quarantine ->
            val end = endsAt.getValue(quarantine)
            val left = quarantine.parts.filterNot { evidence.isAnsweredAfter(it, end - DURATION_MILLISECONDS) }
            if (left.isEmpty()) null else Quarantine(left.toImmutableSet()) to end - now
        }
        ended.forEach(::release)
        refuted.forEach(endsAt::remove)
        val added = reduced.filter { (quarantine, remaining) -> add(quarantine, remaining) }.map { it.first } +
            generateSequence { addDeadlyParts() }.takeWhile { it.isNotEmpty() }.flatten().toList()
        val shrunk = refuted.filter { quarantine ->
            reduced.any { (rest, _) -> quarantine.parts.containsAll(rest.parts) }
        }
        return QuarantineChanges(added, ended.toList(), refuted.toList() - shrunk.toSet(), shrunk)
    }

    private fun addDeadlyParts(): List<Quarantine> =
        evidence.findDeadlyParts { find(it) != null }.map(::Quarantine).filter { add(it) }

    public companion object {
        /**
         * Time for which requests are held back. Each trial of a deadly part costs an endpoint and its requests, and a
         * part may be sound again only after a change by people.
         */
        public const val DURATION_MILLISECONDS: Long = 600_000

        /** Bounds the memory, and what forged reports can hold back. */
        private const val MAXIMUM_QUARANTINES = 64
        private const val MAXIMUM_REPORTED_QUARANTINES = 16
    }
}

/**
 * Changes that a review has made.
 *
 * @property added quarantines that have begun
 * @property ended quarantines whose time is over
 * @property refuted quarantines that are over because their parts were answered
 * @property shrunk quarantines of which some parts were answered; those with the other parts are among [added]
 */
public data class QuarantineChanges(
    public val added: List<Quarantine>,
    public val ended: List<Quarantine>,
    public val refuted: List<Quarantine>,
    public val shrunk: List<Quarantine>,
)

/**
 * What a gateway tells its peers about deadly prompt parts.
 *
 * @property crashes ends of endpoints that it has observed lately and that no quarantine explains
 * @property answerAges milliseconds since the latest answer to a request with a suspected part
 * @property remaining quarantines in force and the milliseconds until they end
 */
public data class QuarantineReport(
    public val crashes: List<CrashReport> = emptyList(),
    public val answerAges: Map<String, Long> = emptyMap(),
    public val remaining: Map<Quarantine, Long> = emptyMap(),
) {
    /** Whether there is nothing to tell. */
    public val isEmpty: Boolean get() = crashes.isEmpty() && answerAges.isEmpty() && remaining.isEmpty()
}
