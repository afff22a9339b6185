package org.guavahatch.standins.engine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PrefixCacheTest {
    private val events = CacheEvents(lagMilliseconds = 100, lostEveryNth = 3)
    private val cache = PrefixCache(cacheTokens = 4 * 64) { change, block -> events.add(0, change, block) }

    private fun prompt(name: String, blocks: Int) = name.repeat(256 * blocks)

    @Test
    fun `a prefix is found until it is evicted`() {
        assertEquals(0, cache.lookUpAndStore(prompt("a", 2)))
        assertEquals(2 * 64, cache.lookUpAndStore(prompt("a", 3)))
        assertEquals(0, cache.lookUpAndStore(prompt("b", 4)))
        assertEquals(0, cache.lookUpAndStore(prompt("a", 2)))
    }

    @Test
    fun `events come late and with gaps`() {
        cache.lookUpAndStore(prompt("a", 4))
        assertEquals(emptyList(), events.eventsAfter(0, nowMilliseconds = 99))
        assertEquals(listOf(1L, 2L, 4L), events.eventsAfter(0, nowMilliseconds = 100).map { it.sequence })
        cache.lookUpAndStore(prompt("b", 1))
        assertTrue(events.eventsAfter(4, nowMilliseconds = 100).any { it.change == CacheChange.STORED })
    }
}
