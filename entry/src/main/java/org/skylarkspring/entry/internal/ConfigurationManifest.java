package org.skylarkspring.entry.internal;

import java.util.List;

/**
 * Names the shards that make up one revision of the configuration. The manifest is the
 * only object that a publication changes; shards are named by their content and never
 * change.
 *
 * @param revision number of the revision
 * @param publishId unique name of the publication
 * @param shards names of the shards in order
 */
record ConfigurationManifest(long revision, String publishId, List<String> shards) {
}
