package org.guavahatch.scheduling.zone

import org.guavahatch.scheduling.direct.EndpointState

/** Slots of the usable endpoints of each zone at [now]. */
internal class ZoneSlots(endpoints: Collection<EndpointState>, now: Long) {
    private val counts = HashMap<String, Count>()

    init {
        endpoints.filter { it.isUsableAt(now) }.forEach { endpoint ->
            val count = counts.getOrPut(endpoint.listed.zone, ::Count)
            count.free += endpoint.freeSlotsAt(now)
            count.all += endpoint.listed.slots
        }
    }

    /** Free slots of [zone]. */
    fun free(zone: String): Int = counts[zone]?.free ?: 0

    /** All slots of the usable endpoints of [zone]. */
    fun all(zone: String): Int = counts[zone]?.all ?: 0

    /** Free slots of all zones. */
    val free: Int get() = counts.values.sumOf { it.free }

    /** All slots of the usable endpoints of all zones. */
    val all: Int get() = counts.values.sumOf { it.all }

    private class Count {
        var free = 0
        var all = 0
    }
}
