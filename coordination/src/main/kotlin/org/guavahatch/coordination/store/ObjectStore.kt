package org.guavahatch.coordination.store

import arrow.core.Either

/** The platform's object store. */
public interface ObjectStore {
    /** The object with [key], or null if there is none. */
    public suspend fun get(key: String): Either<PlatformError, String?>

    /** Stores [content] under [key] if there is no such object yet; false if there is one. */
    public suspend fun putIfAbsent(key: String, content: String): Either<PlatformError, Boolean>
}
