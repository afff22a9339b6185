package org.guavahatch.coordination.http

import org.apache.hc.core5.concurrent.Cancellable
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a cancelled call whose server goes on, since only the operation that was set last was cancelled. */
class CallOperationsTest {
    private class Case(val name: String, val before: List<String>, val after: List<String>)

    private val cases = listOf(
        Case("in order", listOf("lease", "connect", "exchange"), emptyList()),
        Case("the connect is set after the exchange", listOf("lease", "exchange", "connect"), emptyList()),
        Case("the exchange is set after the cancellation", listOf("lease", "connect"), listOf("exchange")),
        Case("nothing is set before the cancellation", emptyList(), listOf("lease", "connect")),
    )

    @Test
    fun `a cancelled call cancels each of its operations once`() = cases.forEach { case ->
        val cancelled = ArrayList<String>()
        val operations = CallOperations()
        fun set(name: String) = operations.setDependency(Cancellable { cancelled.add(name) })
        case.before.forEach(::set)
        operations.cancel()
        case.after.forEach(::set)
        operations.cancel()
        assertEquals(case.before + case.after, cancelled, case.name)
    }
}
