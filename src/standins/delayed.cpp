#include "standins/delayed.h"

#include <glib.h>

#include <utility>

namespace caraway {

namespace {

using Callback = std::function<void()>;

gboolean Run(gpointer aData)
{
  (*static_cast<Callback*>(aData))();
  return G_SOURCE_REMOVE;
}

void Delete(gpointer aData)
{
  delete static_cast<Callback*>(aData);
}

} // namespace

void CallAfter(Duration aDelay, std::function<void()> aDo)
{
  const auto delay = std::chrono::ceil<std::chrono::milliseconds>(aDelay).count();
  g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(delay), &Run,
                     new Callback(std::move(aDo)), &Delete);
}

} // namespace caraway
