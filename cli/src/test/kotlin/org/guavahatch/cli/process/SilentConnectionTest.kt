package org.guavahatch.cli.process

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Established connections between processes lose all data from some point on without being closed, while new
 * connections work. Requests in flight are still answered.
 */
class SilentConnectionTest {
    private val proxies = mutableListOf<BlackholeProxy>()
    private val frostFleece = FrostFleece {
        listedPort = { port -> BlackholeProxy(port).also { proxies += it }.listedPort }
    }

    @AfterTest
    fun stop() {
        frostFleece.close()
        proxies.forEach { it.close() }
    }

    @Test
    fun `requests in flight resume on a new connection and are answered`() {
        frostFleece.startLoad("warm-up").get()
        BlackholedDirection.entries.forEach { direction ->
            val load = frostFleece.startLoad("silent-${direction.name.lowercase()}")
            repeat(3) {
                Thread.sleep(1800)
                proxies.forEach { proxy -> proxy.blackhole(direction) }
            }
            val result = load.get()
            println("$direction: ${result.total} ${result.reasons}")
            assertEquals(emptyList(), result.wrong, direction.name)
            assertEquals(result.total.sent, result.total.answered, "$direction: ${result.reasons}")
        }
    }
}
