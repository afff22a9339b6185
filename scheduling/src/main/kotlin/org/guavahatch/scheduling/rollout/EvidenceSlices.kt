package org.guavahatch.scheduling.rollout

/**
 * The evidence in slices of time, so that both versions are compared at the same time, and a version that turns bad
 * later is not judged by its earlier answers. Old slices are merged, so their number is bounded.
 */
internal class EvidenceSlices {
    private val closed = ArrayList<Map<EvidenceKey, CountVector>>()
    private var openedAt: Long? = null
    private var atOpening: Map<EvidenceKey, CountVector> = emptyMap()

    /** Slices from the oldest to the one that is open. */
    fun update(total: Map<EvidenceKey, CountVector>, now: Long): List<Map<EvidenceKey, CountVector>> {
        val current = total.mapValues { (key, vector) ->
            vector.copy().also { copy -> atOpening[key]?.let { copy.add(it, factor = -1) } }
        }
        val slices = closed + listOf(current)
        if (now - (openedAt ?: now.also { openedAt = it }) >= SLICE) close(current, total, now)
        return slices
    }

    private fun close(current: Map<EvidenceKey, CountVector>, total: Map<EvidenceKey, CountVector>, now: Long) {
        closed += current
        atOpening = total.mapValues { it.value.copy() }
        openedAt = now
        if (closed.size <= MAXIMUM_SLICES) return
        val merged = closed.take(MAXIMUM_SLICES / 2).chunked(2).map { (first, second) -> sum(first, second) }
        val recent = closed.drop(MAXIMUM_SLICES / 2)
        closed.clear()
        closed += merged + recent
    }

    private fun sum(first: Map<EvidenceKey, CountVector>, second: Map<EvidenceKey, CountVector>) =
        (first.keys + second.keys).associateWith { key ->
            CountVector().also { sum -> listOfNotNull(first[key], second[key]).forEach { sum.add(it) } }
        }

    private companion object {
        /** A fifth of the time that callers usually allow for a rollback; reports of all gateways arrive in a third. */
        const val SLICE = 1_000L
        const val MAXIMUM_SLICES = 32
    }
}
