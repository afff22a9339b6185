package org.guavahatch.coordination.store

import arrow.core.Either

/** The object store of the platform. */
public interface ObjectStore {
    /** Returns the object with [key], or null if it does not exist. */
    public suspend fun get(key: String): Either<PlatformError, String?>

    /** Stores [content] under [key] unless an object with this key exists. Returns whether it was stored. */
    public suspend fun putIfAbsent(key: String, content: String): Either<PlatformError, Boolean>
}
