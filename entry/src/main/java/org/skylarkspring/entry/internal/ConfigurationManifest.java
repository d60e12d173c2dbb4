package org.skylarkspring.entry.internal;

import java.util.List;

/**
 * Lists the shards of one revision of the configuration. The manifest is the only object
 * that a publication changes; shards are named by a hash of their content and never
 * change.
 *
 * @param revision revision number
 * @param publishId unique identifier of the publication
 * @param shards names of the shards in the order in which they are concatenated
 */
record ConfigurationManifest(long revision, String publishId, List<String> shards) {
}
