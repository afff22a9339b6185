package org.guavahatch.coordination.fake

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import org.guavahatch.model.time.Clock

/** A clock that shows the virtual time of [scope]. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class TestTime(private val scope: TestScope) : Clock {
    override fun monotonicMilliseconds(): Long = scope.currentTime

    override fun wallMilliseconds(): Long = scope.currentTime
}
