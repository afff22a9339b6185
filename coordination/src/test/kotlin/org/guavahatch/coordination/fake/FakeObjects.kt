package org.guavahatch.coordination.fake

import arrow.core.Either
import arrow.core.right
import org.guavahatch.coordination.store.ObjectStore
import org.guavahatch.coordination.store.PlatformError

/** An in-memory object store. */
internal class FakeObjects : ObjectStore {
    private val objects = HashMap<String, String>()

    override suspend fun get(key: String): Either<PlatformError, String?> = objects[key].right()

    override suspend fun putIfAbsent(key: String, content: String): Either<PlatformError, Boolean> =
        (objects.putIfAbsent(key, content) == null).right()
}
