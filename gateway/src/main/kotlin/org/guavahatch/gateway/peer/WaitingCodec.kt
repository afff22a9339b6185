package org.guavahatch.gateway.peer

import org.guavahatch.scheduling.direct.LowestUse
import org.guavahatch.scheduling.direct.WaitingReport

/** [WaitingReport] as the list of numbers in a [PeerDatagram]. */
internal object WaitingCodec {
    private const val ORDER = 0
    private const val REQUESTS = 1
    private const val LEAVING = 2
    private const val LOWEST_USE = 3
    private const val LOWEST_USE_REQUESTS = 4

    /** Value of [LEAVING] if the sender prefers no zone. */
    private const val NO_ZONE = -1

    /** Encodes [waiting]; numbers that the sender does not use are left out at the end. */
    fun encode(waiting: WaitingReport): List<Int> {
        val required = listOf(waiting.order, waiting.requests)
        val lowest = waiting.lowestUse ?: return required + listOfNotNull(waiting.leaving)
        return required + listOf(waiting.leaving ?: NO_ZONE, lowest.use, lowest.requests)
    }

    /** Decodes [numbers], of which releases without zones and fair shares send the first two. */
    fun decode(numbers: List<Int>): WaitingReport {
        val lowestUse = numbers.getOrNull(LOWEST_USE)?.let { use ->
            numbers.getOrNull(LOWEST_USE_REQUESTS)?.let { LowestUse(use, it) }
        }
        val leaving = numbers.getOrNull(LEAVING)?.takeIf { it != NO_ZONE }
        return WaitingReport(numbers[ORDER], numbers[REQUESTS], leaving, lowestUse)
    }
}
