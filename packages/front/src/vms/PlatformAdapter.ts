import type * as callerDialect from '../callers/CallerDialect.js';
import type * as directoryDialect from '../callers/DirectoryDialect.js';
import type * as catalogSource from '../catalogs/CatalogSource.js';
import type * as upstreamDialect from '../upstreams/UpstreamDialect.js';

/** Everything that depends on the platform on which a front process runs: header conventions, catalog source and readiness path. */
export interface PlatformAdapter {
  readonly callers: callerDialect.CallerDialect;
  readonly directory: directoryDialect.DirectoryDialect;
  readonly upstreams: upstreamDialect.UpstreamDialect;
  readonly source: catalogSource.CatalogSource;
  readonly readinessPath: string;
}
